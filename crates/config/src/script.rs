//! Evaluating a script, within bounds.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

use starlark::any::ProvidesStaticType;
use starlark::codemap::FileSpanRef;
use starlark::collections::SmallMap;
use starlark::environment::{Globals, GlobalsBuilder, Module};
use starlark::eval::{BeforeStmtFunc, BeforeStmtFuncDyn, Evaluator};
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::Value;
use starlark::values::none::NoneType;

use crate::{FunctionCall, Problem};

/// Limit on a script's calls and loop iterations.
const MAX_TICKS: u64 = 500_000;
/// Limit on the memory that a script holds, bytes.
const MAX_HEAP_BYTES: usize = 64 << 20;
/// Limit on the nesting of a script's calls.
const MAX_CALL_DEPTH: usize = 100;
/// The longest script, bytes.
const MAX_SCRIPT_BYTES: usize = 4 << 20;

/// The calls that a script has made, in order.
#[derive(Debug, Default, ProvidesStaticType)]
struct RecordedCalls(RefCell<Vec<FunctionCall>>);

fn record_call(
    eval: &Evaluator,
    function: &'static str,
    first: Option<Value>,
    named: SmallMap<String, Value>,
) -> anyhow::Result<NoneType> {
    let location = eval.call_stack_top_location().map(|span| span.resolve());
    let first = first.map(Value::to_json_value).transpose()?.unwrap_or_default();
    let mut named_values = BTreeMap::new();
    for (name, value) in named {
        named_values.insert(name, value.to_json_value()?);
    }
    let call = FunctionCall {
        function,
        first,
        named: named_values,
        file: location.as_ref().map_or_else(String::new, |location| location.file.clone()),
        line: location.as_ref().map_or(0, |location| location.span.begin.line + 1),
        column: location.as_ref().map_or(0, |location| location.span.begin.column + 1),
    };
    if let Some(calls) = eval.extra.and_then(|extra| extra.downcast_ref::<RecordedCalls>()) {
        calls.0.borrow_mut().push(call);
    }
    Ok(NoneType)
}

/// Checks the heap before each statement.
///
/// Hazard: the evaluator by itself checks every thousand instructions, and a list that doubles needs far fewer to exhaust
/// a machine's memory.
struct HeapLimit;

impl<'e> BeforeStmtFuncDyn<'e> for HeapLimit {
    fn call<'v>(
        &mut self,
        _: FileSpanRef,
        _: bool,
        eval: &mut Evaluator<'v, '_, 'e>,
    ) -> starlark::Result<()> {
        if eval.heap().allocated_bytes() > MAX_HEAP_BYTES {
            let what = format!("it holds more than {MAX_HEAP_BYTES} bytes");
            return Err(starlark::Error::new_other(anyhow::anyhow!(what)));
        }
        Ok(())
    }
}

/// The functions that a script may call: those of settings, of a coordinator, of a relay and of a fault test. The attribute
/// needs each of them written out.
#[starlark_module]
fn functions(builder: &mut GlobalsBuilder) {
    fn gateway<'v>(
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_call(eval, "gateway", None, named)
    }

    fn keeper<'v>(
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_call(eval, "keeper", None, named)
    }

    fn relay<'v>(
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_call(eval, "relay", None, named)
    }

    fn rules<'v>(
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_call(eval, "rules", None, named)
    }

    fn bounds<'v>(
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_call(eval, "bounds", None, named)
    }

    fn op_type<'v>(
        #[starlark(require = pos)] name: Value<'v>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_call(eval, "op_type", Some(name), named)
    }

    fn request<'v>(
        #[starlark(require = pos)] kinds: Value<'v>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_call(eval, "request", Some(kinds), named)
    }

    fn plan<'v>(
        #[starlark(require = pos)] name: Value<'v>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_call(eval, "plan", Some(name), named)
    }

    fn volume<'v>(
        #[starlark(require = pos)] name: Value<'v>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_call(eval, "volume", Some(name), named)
    }

    fn day<'v>(
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_call(eval, "day", None, named)
    }

    fn clients<'v>(
        #[starlark(require = pos)] volume: Value<'v>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_call(eval, "clients", Some(volume), named)
    }

    fn trouble<'v>(
        #[starlark(require = pos)] kind: Value<'v>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_call(eval, "trouble", Some(kind), named)
    }
}

fn globals() -> Globals {
    let mut builder = GlobalsBuilder::standard().with(functions);
    builder.set("ms", 0.001);
    builder.set("KiB", 1 << 10);
    builder.set("MiB", 1 << 20);
    builder.set("GiB", 1 << 30);
    builder.build()
}

/// Evaluates a script within bounds; its calls, in order. `file` is its name in problems.
///
/// # Errors
/// The first problem: a syntax error, an error at run time, or a bound that was exceeded.
pub fn evaluate(file: &str, text: String) -> Result<Vec<FunctionCall>, Problem> {
    if text.len() > MAX_SCRIPT_BYTES {
        let what = format!("{} bytes, over the bound of {MAX_SCRIPT_BYTES}", text.len());
        return Err(Problem::of_file(file, what));
    }
    let dialect = Dialect { enable_top_level_stmt: true, ..Dialect::Standard };
    let script = AstModule::parse(file, text, &dialect).map_err(|error| problem(file, &error))?;
    let calls = RecordedCalls::default();
    // The interpreter panics on a single value of some gigabytes, which one expression can ask for.
    match catch_unwind(AssertUnwindSafe(|| run(script, &calls))) {
        Ok(evaluated) => evaluated.map_err(|error| problem(file, &error))?,
        Err(_) => return Err(Problem::of_file(file, "a value in it is too large".into())),
    }
    Ok(calls.0.into_inner())
}

fn run(script: AstModule, calls: &RecordedCalls) -> starlark::Result<()> {
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        eval.extra = Some(calls);
        eval.set_max_tick_count(MAX_TICKS)?;
        eval.set_max_heap_size(MAX_HEAP_BYTES)?;
        eval.set_max_callstack_size(MAX_CALL_DEPTH)?;
        eval.before_stmt_for_dap(BeforeStmtFunc::from_dyn(Box::new(HeapLimit)));
        eval.eval_module(script, &globals())?;
        Ok(())
    })
}

/// An error of the interpreter: its first line, and its place where it has one.
fn problem(file: &str, error: &starlark::Error) -> Problem {
    let span = error.span().map(|span| span.resolve());
    let what = error.without_diagnostic().to_string();
    let what = what.lines().next().unwrap_or_default().to_string();
    match span {
        Some(location) => {
            let begin = location.span.begin;
            Problem { file: location.file, line: begin.line + 1, column: begin.column + 1, what }
        }
        None => Problem::of_file(file, what),
    }
}
