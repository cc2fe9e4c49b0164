//! Evaluates a script with limits on its size, steps, call depth and memory.

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

/// Limit on a script's calls and loop iterations together.
const MAX_TICKS: u64 = 500_000;
/// Limit on the memory of a script's values, bytes.
const MAX_HEAP_BYTES: usize = 64 << 20;
/// Limit on the depth of a script's call stack.
const MAX_CALL_DEPTH: usize = 100;
/// The longest script, bytes.
const MAX_SCRIPT_BYTES: usize = 4 << 20;

/// The calls that a script has made so far, in order.
#[derive(Debug, Default, ProvidesStaticType)]
struct RecordedCalls(RefCell<Vec<FunctionCall>>);

fn record_call(
    eval: &Evaluator,
    function: &'static str,
    first: Option<Value>,
    named: SmallMap<String, Value>,
) -> anyhow::Result<NoneType> {
    let location = eval.call_stack_top_location().map(|span| span.resolve());
    let positional = first.map(Value::to_json_value).transpose()?.unwrap_or_default();
    let mut named_values = BTreeMap::new();
    for (name, value) in named {
        named_values.insert(name, value.to_json_value()?);
    }
    let call = FunctionCall {
        function,
        positional,
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

/// Checks the size of the heap before each statement.
///
/// Hazard: the evaluator itself checks the heap only every thousand instructions. A list that doubles
/// repeatedly needs far fewer instructions to exhaust the machine's memory.
struct HeapLimit;

impl<'e> BeforeStmtFuncDyn<'e> for HeapLimit {
    fn call<'v>(
        &mut self,
        _: FileSpanRef,
        _: bool,
        eval: &mut Evaluator<'v, '_, 'e>,
    ) -> starlark::Result<()> {
        if eval.heap().allocated_bytes() > MAX_HEAP_BYTES {
            let message = format!("the script uses more than {MAX_HEAP_BYTES} bytes of memory");
            return Err(starlark::Error::new_other(anyhow::anyhow!(message)));
        }
        Ok(())
    }
}

/// The functions that scripts may call: those of settings, coordinators, relays and fault tests. They are
/// written out one by one because the attribute requires it.
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

/// Evaluates a script with limits on its size, steps, call depth and memory, and returns its calls in order.
/// `file` is the name that problems refer to.
///
/// # Errors
/// The first problem: a syntax error, a runtime error or an exceeded limit.
pub fn evaluate(file: &str, text: String) -> Result<Vec<FunctionCall>, Problem> {
    if text.len() > MAX_SCRIPT_BYTES {
        let message =
            format!("the script has {} bytes, more than the limit of {MAX_SCRIPT_BYTES}", text.len());
        return Err(Problem::for_file(file, message));
    }
    let dialect = Dialect { enable_top_level_stmt: true, ..Dialect::Standard };
    let script = AstModule::parse(file, text, &dialect).map_err(|error| interpreter_problem(file, &error))?;
    let calls = RecordedCalls::default();
    // The interpreter panics on a single value of several gigabytes, which one expression can create.
    match catch_unwind(AssertUnwindSafe(|| run(script, &calls))) {
        Ok(evaluated) => evaluated.map_err(|error| interpreter_problem(file, &error))?,
        Err(_) => return Err(Problem::for_file(file, "a value in the script is too large".into())),
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

/// Converts an error of the interpreter: the first line of its message, and its line and column if known.
fn interpreter_problem(file: &str, error: &starlark::Error) -> Problem {
    let span = error.span().map(|span| span.resolve());
    let text = error.without_diagnostic().to_string();
    let message = text.lines().next().unwrap_or_default().to_string();
    match span {
        Some(location) => {
            let begin = location.span.begin;
            Problem { file: location.file, line: begin.line + 1, column: begin.column + 1, message }
        }
        None => Problem::for_file(file, message),
    }
}
