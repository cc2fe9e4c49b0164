//! Golden examples of the JSON that commands print, recorded on stored files of the packages that write them.

use std::path::{Path, PathBuf};
use std::process::Command;

use umbertray_fakes::test_folder::TestFolder;

const RECORDED: &str = include_str!("golden/commands.txt");

/// A copy of the recorded log of changes, in a folder of this test's own.
fn changes() -> TestFolder {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../config-log/tests/golden/changes");
    let folder = TestFolder::create(env!("CARGO_TARGET_TMPDIR"), "golden-changes").expect("a folder");
    for entry in std::fs::read_dir(source).expect("recorded files") {
        let path = entry.expect("a file").path();
        std::fs::copy(&path, folder.join(path.file_name().expect("a name"))).expect("room");
    }
    folder
}

fn state() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../snapshot/tests/version-2.umb")
}

/// Standard output, standard error and exit status of a command, without this machine's folders.
fn printed(arguments: &[&str], folder: &str) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_umbertray"));
    let output = command.args(arguments).output().expect("it runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).replace(folder, "FOLDER");
    let said: String = text(&output.stderr).lines().map(|line| format!("stderr: {line}\n")).collect();
    let shown = arguments.join(" ").replace(folder, "FOLDER");
    format!("$ {shown}\n{}{said}exit {:?}\n", text(&output.stdout), output.status.code())
}

#[test]
fn commands_print_recorded_json() {
    let changes = changes();
    let folder = changes.to_str().expect("UTF-8");
    let state = state();
    let file = state.to_str().expect("UTF-8");
    let mut transcript = String::new();
    for words in [
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
        let arguments = [&["config"], words, &["--changes", folder, "--json"]].concat();
        transcript.push_str(&printed(&arguments, folder));
    }
    let who = ["--actor", "ann", "--reason", "to see", "--id", "x", "--changes", folder, "--json"];
    let apply = [&["config", "apply", "--set", "plan/free:weight=12"][..], &who].concat();
    transcript.push_str(&printed(&apply, folder));
    transcript.push_str(&printed(&apply, folder));
    let other = [&["config", "apply", "--set", "plan/free:weight=13"][..], &who].concat();
    transcript.push_str(&printed(&other, folder));
    transcript.push_str(&printed(&[&["config", "revert", "12"][..], &who[..4], &who[6..]].concat(), folder));
    for command in ["show", "verify", "export"] {
        transcript.push_str(&printed(&["state", command, file], file));
    }
    assert!(transcript == RECORDED, "differs from tests/golden/commands.txt:\n{transcript}");
}
