//! Golden test of the JSON that commands print about stored files, which are recorded in the packages that
//! write them.

use std::path::{Path, PathBuf};
use std::process::Command;

use umbertray_fakes::test_folder::TestFolder;

const RECORDED: &str = include_str!("golden/commands.txt");

/// Copies the recorded change log to a folder for this test.
fn changes() -> TestFolder {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../config-log/tests/golden/changes");
    let folder = TestFolder::create(env!("CARGO_TARGET_TMPDIR"), "golden-changes").expect("a folder");
    for entry in std::fs::read_dir(source).expect("recorded files") {
        let path = entry.expect("a file").path();
        std::fs::copy(&path, folder.join(path.file_name().expect("a name")))
            .expect("the test folder is writable");
    }
    folder
}

fn state() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../snapshot/tests/version-2.umb")
}

/// Runs a command; returns its standard output, standard error and exit status, without the path of the
/// folder.
fn printed(arguments: &[&str], folder: &str) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_umbertray"));
    let output = command.args(arguments).output().expect("it runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).replace(folder, "FOLDER");
    let errors: String = text(&output.stderr).lines().map(|line| format!("stderr: {line}\n")).collect();
    let shown = arguments.join(" ").replace(folder, "FOLDER");
    format!("$ {shown}\n{}{errors}exit {:?}\n", text(&output.stdout), output.status.code())
}

#[test]
fn commands_print_recorded_json() {
    let changes = changes();
    let folder = changes.to_str().expect("UTF-8");
    let state = state();
    let file = state.to_str().expect("UTF-8");
    let mut transcript = String::new();
    for command in [
        &["log"][..],
        &["log", "--after", "17"],
        &["log", "--verify"],
        &["show"],
        &["show", "--at", "4"],
        &["diff", "3", "6"],
        &["blame", "plan/limited:limit"],
        &["export"],
        &["plan", "--set", "plan/limited:limit=5"],
        &["plan", "--set", "plan/limited:limit=5", "--allow", "cut"],
        &["plan", "--set", "plan/none:limit=5"],
        &["plan", "--set", "plan/free:weight=3", "--base", "12"],
    ] {
        let arguments = [&["config"], command, &["--changes", folder, "--json"]].concat();
        transcript.push_str(&printed(&arguments, folder));
    }
    let author = ["--actor", "ann", "--reason", "to see", "--id", "x", "--changes", folder, "--json"];
    let apply = [&["config", "apply", "--set", "plan/free:weight=12"][..], &author].concat();
    transcript.push_str(&printed(&apply, folder));
    transcript.push_str(&printed(&apply, folder));
    let other = [&["config", "apply", "--set", "plan/free:weight=13"][..], &author].concat();
    transcript.push_str(&printed(&other, folder));
    transcript
        .push_str(&printed(&[&["config", "revert", "12"][..], &author[..4], &author[6..]].concat(), folder));
    for command in ["show", "verify", "export"] {
        transcript.push_str(&printed(&["state", command, file], file));
    }
    assert!(transcript == RECORDED, "differs from tests/golden/commands.txt:\n{transcript}");
}
