//! Evaluating the script, within bounds.

use std::cell::RefCell;
use std::collections::BTreeMap;

use starlark::any::ProvidesStaticType;
use starlark::codemap::FileSpanRef;
use starlark::collections::SmallMap;
use starlark::environment::{Globals, GlobalsBuilder, Module};
use starlark::eval::{BeforeStmtFunc, BeforeStmtFuncDyn, Evaluator};
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::Value;
use starlark::values::none::NoneType;

use crate::Problem;
use crate::calls::FunctionCall;

/// A script that calls or loops more often, or holds more memory (bytes), is stopped.
const MOST_TICKS: u64 = 500_000;
const MOST_HEAP: usize = 64 << 20;
/// The longest script, bytes.
const MOST_TEXT: usize = 4 << 20;

#[derive(Debug, Default, ProvidesStaticType)]
struct Calls(RefCell<Vec<FunctionCall>>);

fn note(
    eval: &Evaluator,
    function: &'static str,
    first: Option<Value>,
    named: SmallMap<String, Value>,
) -> anyhow::Result<NoneType> {
    let calls = eval.extra.and_then(|extra| extra.downcast_ref::<Calls>());
    let place = eval.call_stack_top_location().map(|span| span.resolve());
    let named: anyhow::Result<BTreeMap<String, serde_json::Value>> =
        named.into_iter().map(|(name, value)| Ok((name, value.to_json_value()?))).collect();
    let call = FunctionCall {
        function,
        first: first.map(|value| value.to_json_value()).transpose()?.unwrap_or_default(),
        named: named?,
        file: place.as_ref().map_or_else(String::new, |place| place.file.clone()),
        line: place.as_ref().map_or(0, |place| place.span.begin.line + 1),
        column: place.as_ref().map_or(0, |place| place.span.begin.column + 1),
    };
    calls.into_iter().for_each(|calls| calls.0.borrow_mut().push(call.clone()));
    Ok(NoneType)
}

/// Looks at the heap before each statement. The evaluator by itself looks every thousand instructions, and a list that
/// doubles needs far fewer to fill a machine.
struct Heap;

impl<'e> BeforeStmtFuncDyn<'e> for Heap {
    fn call<'v>(
        &mut self,
        _: FileSpanRef,
        _: bool,
        eval: &mut Evaluator<'v, '_, 'e>,
    ) -> starlark::Result<()> {
        if eval.heap().allocated_bytes() > MOST_HEAP {
            let what = format!("it holds more than {MOST_HEAP} bytes");
            return Err(starlark::Error::new_other(anyhow::anyhow!(what)));
        }
        Ok(())
    }
}

#[starlark_module]
fn functions(builder: &mut GlobalsBuilder) {
    fn gateway<'v>(
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note(eval, "gateway", None, named)
    }

    fn keeper<'v>(
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note(eval, "keeper", None, named)
    }

    fn relay<'v>(
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note(eval, "relay", None, named)
    }

    fn rules<'v>(
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note(eval, "rules", None, named)
    }

    fn bounds<'v>(
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note(eval, "bounds", None, named)
    }

    fn op_type<'v>(
        #[starlark(require = pos)] name: Value<'v>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note(eval, "op_type", Some(name), named)
    }

    fn request<'v>(
        #[starlark(require = pos)] kinds: Value<'v>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note(eval, "request", Some(kinds), named)
    }

    fn plan<'v>(
        #[starlark(require = pos)] name: Value<'v>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note(eval, "plan", Some(name), named)
    }

    fn volume<'v>(
        #[starlark(require = pos)] name: Value<'v>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note(eval, "volume", Some(name), named)
    }

    fn day<'v>(
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note(eval, "day", None, named)
    }

    fn clients<'v>(
        #[starlark(require = pos)] volume: Value<'v>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note(eval, "clients", Some(volume), named)
    }

    fn trouble<'v>(
        #[starlark(require = pos)] kind: Value<'v>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note(eval, "trouble", Some(kind), named)
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

/// Evaluates a script within bounds; its calls, in order.
pub fn evaluate(file: &str, text: String) -> Result<Vec<FunctionCall>, Problem> {
    let whole = |what: String| Problem { file: file.into(), line: 0, column: 0, what };
    if text.len() > MOST_TEXT {
        return Err(whole(format!("{} bytes, over the bound of {MOST_TEXT}", text.len())));
    }
    let dialect = Dialect { enable_top_level_stmt: true, ..Dialect::Standard };
    let problem = |error: starlark::Error| {
        let what = error.without_diagnostic().to_string();
        let what = what.lines().next().unwrap_or_default().to_string();
        match error.span() {
            Some(span) => {
                let place = span.resolve();
                let (line, column) = (place.span.begin.line + 1, place.span.begin.column + 1);
                Problem { file: place.file, line, column, what }
            }
            None => whole(what),
        }
    };
    let script = AstModule::parse(file, text, &dialect).map_err(problem)?;
    let calls = Calls::default();
    let evaluation = || {
        Module::with_temp_heap(|module| {
            let mut eval = Evaluator::new(&module);
            eval.extra = Some(&calls);
            eval.set_max_tick_count(MOST_TICKS)?;
            eval.set_max_heap_size(MOST_HEAP)?;
            eval.set_max_callstack_size(100)?;
            eval.before_stmt_for_dap(BeforeStmtFunc::from_dyn(Box::new(Heap)));
            eval.eval_module(script, &globals())?;
            starlark::Result::Ok(())
        })
    };
    // The interpreter panics on a single value of some gigabytes, which one expression can ask for.
    match std::panic::catch_unwind(std::panic::AssertUnwindSafe(evaluation)) {
        Ok(evaluated) => evaluated.map_err(problem)?,
        Err(_) => return Err(whole("a value in it is too large".into())),
    }
    Ok(calls.0.into_inner())
}
