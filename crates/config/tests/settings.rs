//! Reads settings scripts: valid scripts are accepted, and every problem is reported with its line and
//! column.

use umbertray_config::{ChangeSource, Problem, SettingsDocument, read};

const VALID: &str = r#"
gateway(listen = ["127.0.0.1:0", "[::1]:0"], list = "127.0.0.1:7000", gateways = 3, state = "/var/lib/x")
op_type("get", target_latency = 100 * ms, op_timeout = 1, utility = 3)
op_type("put", target_latency = 0.2, op_timeout = 2, utility = 2, repeats = "deduplicated",
    dedup_span = 5, in_order = True)
request(["read", "status"], up_to = 64 * KiB, op_type = "get")
request(["read", "status"], op_type = "put")
request(["write", "zero", "trim", "flush"], op_type = "put")
plan("small", rate = 100)
plan("capped", rate = 100, weight = 2, reserve = 20, limit = 50, limit_burst = 70, limit_slack = 7)
[volume("v%d" % n, size = 1 * MiB, plan = "small") for n in range(3)]
volume("w", size = 512, plan = "capped", gateways = 2)
rules(further_free = 2, further_share = 0.1, further_span = 10)
"#;

fn problems(text: &str) -> Vec<Problem> {
    read("s.star", text.into()).expect_err("invalid settings")
}

/// The problems of the valid script with one piece of its text replaced.
fn problems_after_replacing(from: &str, to: &str) -> Vec<String> {
    assert!(VALID.contains(from), "{from}");
    problems(&VALID.replacen(from, to, 1)).iter().map(ToString::to_string).collect()
}

#[test]
fn printed_settings_read_back_the_same() {
    let document: SettingsDocument = read("s.star", VALID.into()).expect("valid settings");
    assert_eq!(document.settings.volumes.len(), 4);
    assert_eq!(document.settings.op_types[0].target_latency, std::time::Duration::from_millis(100));
    assert_eq!(read("again", document.as_script()), Ok(document));
}

#[test]
fn each_problem_is_reported_with_its_place() {
    for (from, to, expected) in [
        (
            "op_timeout = 1,",
            "op_timeout = 0.05,",
            "s.star:3:1: op_type: op_timeout 50ms is under target_latency 100ms",
        ),
        ("utility = 3", "utilty = 3", "s.star:3:1: op_type: unknown argument utilty"),
        ("utility = 3", "utility = -1", "s.star:3:1: op_type: utility = -1 is out of range"),
        ("utility = 3", "utility = \"much\"", "s.star:3:1: op_type: utility = \"much\" is not a number"),
        ("op_type(\"put\"", "op_type(\"get\"", "s.star:4:1: op_type: the name \"get\" is taken"),
        ("dedup_span = 5, ", "", "s.star:4:1: op_type: dedup_span is missing"),
        ("in_order = True", "in_order = 1", "s.star:4:1: op_type: in_order = 1 is neither True nor False"),
        ("op_type = \"get\"", "op_type = \"got\"", "s.star:6:1: request: there is no op type \"got\""),
        (
            "[\"read\", \"status\"], up_to",
            "[\"reed\"], up_to",
            "s.star:6:1: request: \"reed\" is none of read",
        ),
        (", \"flush\"]", "]", "s.star: no request rule without up_to covers \"flush\""),
        ("rate = 100)", "rate = 100, reserve = 200)", "s.star:9:1: plan: reserve 200 is over rate 100"),
        ("limit = 50", "limit = 10", "s.star:10:1: plan: limit 10 is under reserve 20"),
        ("limit = 50, ", "", "s.star:10:1: plan: limit_burst and limit_slack require limit"),
        ("plan = \"small\")", "plan = \"smal\")", "s.star:11:2: volume: there is no plan \"smal\""),
        ("size = 512", "size = 700", "s.star:12:1: volume: size = 700 is not a multiple of 512"),
        (
            "further_free = 2, ",
            "",
            "s.star:13:1: rules: further_free, further_share and further_span must be given together",
        ),
        ("127.0.0.1:7000", "nowhere", "s.star:2:1: gateway: list = \"nowhere\" is not an address and port"),
        (
            "rules(",
            "bounds(bytes = 65536, bytes_a_session = 131072)\nrules(",
            "s.star:13:1: bounds: request_bytes",
        ),
        (
            "rules(",
            "bounds(bytes = 131072, bytes_a_session = 131072, request_bytes = 131072)\nrules(",
            "s.star:13:1: bounds: request_bytes 131072 is over half of bytes 131072",
        ),
        ("rules(", "rules()\nrules(", "s.star:14:1: rules: is called twice"),
        ("rules(", "day(length = 1)\nrules(", "s.star:13:1: day: does not belong in settings"),
    ] {
        let found = problems_after_replacing(from, to);
        assert!(found.iter().any(|problem| problem.starts_with(expected)), "{expected}\n{found:#?}");
    }
}

#[test]
fn all_problems_are_reported_at_once_and_broken_scripts_with_a_place() {
    let several =
        "plan(\"p\")\nop_type(\"t\", target_latency = 1, op_timeout = 1, utility = 0)\ngateway(list = 3)\n";
    assert!(problems(several).len() >= 5, "{:?}", problems(several));
    let broken = problems("plan(\"p\", rate = 1)\nplan(\n");
    assert!(broken[0].line >= 2, "{broken:?}");
    let unknown = problems("plan(\"p\", rate = 1)\nplant(\"q\")\n");
    assert!(unknown[0].line == 2 && unknown[0].message.contains("plant"), "{unknown:?}");
    let failing = problems("x = 1\ny = [1][5]\n");
    assert_eq!(failing[0].line, 2, "{failing:?}");
}

#[test]
fn endless_or_growing_scripts_are_stopped() {
    let looping = "def f():\n  n = 0\n  for i in range(1000000000):\n    n += i\n  return n\nf()\n";
    let growing = "def f():\n  x = [1]\n  for i in range(60):\n    x = x + x\n  return x\nf()\n";
    let deep = "def f(n):\n  return f(n + 1)\nf(0)\n";
    let text = "def f():\n  x = \"abc\"\n  for i in range(60):\n    x = x + x\nf()\n";
    for script in [looping, growing, deep, text] {
        let found = problems(script);
        assert_eq!(found.len(), 1, "{found:?}");
    }
}

#[test]
fn relay_settings_have_names_and_zones() {
    let text = "relay(listen = \"10.0.0.1:7200\", zone = \"a\", \
                changes = [\"b/r2=10.0.0.2:7200\", \"10.0.0.3:7200\", \"r4=10.0.0.4:7200\"])";
    let relay = umbertray_config::read_relay("r.star", text.into()).expect("valid settings");
    assert_eq!((relay.name.as_str(), relay.zone.as_str()), ("10.0.0.1:7200", "a"));
    let ChangeSource::Relays { upstreams, quorum } = relay.changes else { panic!("relays are named") };
    let named: Vec<String> = upstreams.iter().map(ToString::to_string).collect();
    assert_eq!(
        named,
        ["b/r2=10.0.0.2:7200", "default/10.0.0.3:7200=10.0.0.3:7200", "default/r4=10.0.0.4:7200"]
    );
    assert_eq!(quorum, 2);
    let text = "relay(listen = \"10.0.0.1:7200\", changes = \"/srv/log\", folder = \"/var/lib/r\")";
    let relay = umbertray_config::read_relay("r.star", text.into()).expect("valid settings");
    assert_eq!(relay.changes, ChangeSource::Folder("/srv/log".into()));
}

#[test]
fn gateway_following_relays_reads_back_the_same() {
    let script = "gateway(listen = [\"127.0.0.1:0\"], list = \"127.0.0.1:1\", \
                  changes = [\"a/r1=10.0.0.1:7200\", \"b/r2=10.0.0.2:7200\"], \
                  vouch = 1, name = \"g\", zone = \"b\")";
    let calls = umbertray_config::evaluate("s.star", script.into()).expect("a script");
    let document = umbertray_config::parse_local_settings("s.star", &calls).expect("valid settings");
    let again = umbertray_config::evaluate("again", document.local_script()).expect("a script");
    assert_eq!(umbertray_config::parse_local_settings("again", &again), Ok(document));
}

#[test]
fn invalid_relays_are_reported_with_their_place() {
    for (changes, expected) in [
        ("[\"r1=nowhere\"]", "changes = \"nowhere\" is not an address and port"),
        ("[\"r=10.0.0.1:1\", \"r=10.0.0.2:1\"]", "it would vouch for itself"),
        ("[\"r=10.0.0.1:1\", \"s=10.0.0.1:1\"]", "it would vouch for itself"),
        ("[\"/r=10.0.0.1:1\"]", "is empty or longer than 128 bytes"),
        ("[\"r=10.0.0.1:1\"], vouch = 2", "vouch = 2 is out of range, 1 to 1"),
        ("\"/srv/log\", vouch = 2", "vouch requires a list of relays in changes"),
        ("[\"r=10.0.0.1:1\"], name = \"a/b\"", "contains / or ="),
        ("[]", "is not a string or a non-empty list of strings"),
        ("[\"r=10.0.0.1:1\"], follow = 3", "unknown argument follow"),
    ] {
        let text = format!("relay(listen = \"10.0.0.9:7200\", changes = {changes})");
        let problems = umbertray_config::read_relay("r.star", text).expect_err("invalid settings");
        let problems: Vec<String> = problems.iter().map(ToString::to_string).collect();
        let is_reported = problems
            .iter()
            .any(|problem| problem.starts_with("r.star:1:1: relay: ") && problem.contains(expected));
        assert!(is_reported, "{changes}: {problems:?}");
    }
}
