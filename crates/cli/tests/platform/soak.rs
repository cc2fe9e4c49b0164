//! The soak with two seeds. Rules that depend on times are left to `umbertray soak`, which is run with many
//! seeds on a machine that is fast enough; the verdict of this test is the same on any machine.

use std::path::{Path, PathBuf};
use std::time::Duration;

use umbertray_fault_tests::soak::{self, Plan};

#[tokio::test(flavor = "multi_thread")]
async fn overlapping_faults_break_no_counted_rule() {
    for seed in [1, 2] {
        let plan = Plan::draw(seed, 10, Duration::from_secs(5));
        let folder =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the build folder is writable");
        let record = soak::run(&plan, Path::new(env!("CARGO_BIN_EXE_umbertray")), &folder)
            .await
            .expect("the soak runs");
        assert!(record.requests.len() > 200, "{} requests", record.requests.len());
        let findings = soak::judge(&record);
        let untimed: Vec<String> =
            findings.iter().filter(|finding| !finding.rule.is_timed()).map(ToString::to_string).collect();
        assert_eq!(untimed, Vec::<String>::new(), "reproduce with: {plan}");
        std::fs::remove_dir_all(&folder).expect("the test's own folder");
    }
}
