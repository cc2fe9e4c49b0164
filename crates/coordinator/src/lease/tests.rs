//! Format of the lease file: the recorded format is read, and new files have that format.

use super::*;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("umbertray-lease-{name}-{}", std::process::id()));
    _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("the folder is created");
    folder
}

#[test]
fn recorded_lease_of_this_boot_is_read() {
    let folder = folder("read");
    fs::write(folder.join("lease"), format!("{} 1234567\n", current_stamp().boot))
        .expect("the write succeeds");
    let expires_at = read_lease(&folder).expect("the lease file is readable");
    fs::remove_dir_all(&folder).expect("the folder exists");
    assert_eq!(expires_at, Some(Duration::from_micros(1_234_567)));
}

#[test]
fn recorded_lease_of_another_boot_is_over() {
    let folder = folder("other-boot");
    fs::write(folder.join("lease"), format!("{} 1234567\n", current_stamp().boot ^ 1))
        .expect("the write succeeds");
    let expires_at = read_lease(&folder).expect("the lease file is readable");
    fs::remove_dir_all(&folder).expect("the folder exists");
    assert_eq!(expires_at, None);
}

#[test]
fn lease_is_written_as_boot_and_end_in_microseconds() {
    let folder = folder("write");
    let LeasedFolder { lease, disk: _disk } =
        Lease::acquire(&folder, Takeover::Never).expect("the folder is unlocked");
    let text = fs::read_to_string(folder.join("lease")).expect("the lease file exists");
    fs::remove_dir_all(&folder).expect("the folder exists");
    assert_eq!(text, format!("{} {}\n", current_stamp().boot, lease.expires_at.as_micros()));
}

#[test]
fn lease_that_ran_out_while_it_was_renewed_is_not_held() {
    let folder = folder("late");
    let LeasedFolder { mut lease, disk: _disk } =
        Lease::acquire(&folder, Takeover::Never).expect("the folder is unlocked");
    lease.expires_at = time_since_boot();
    let renewed = lease.renew();
    fs::remove_dir_all(&folder).expect("the folder exists");
    assert_eq!(renewed.err().map(|error| error.kind()), Some(io::ErrorKind::TimedOut));
    assert!(!lease.is_held());
}
