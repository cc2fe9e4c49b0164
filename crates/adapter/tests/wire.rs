//! Decoding and encoding of frames, and the errors that state what is malformed.

use std::time::Duration;

use umbertray_adapter::codec::{self, Item, Record, Reply};
use umbertray_adapter::serve;

fn frame(records: &[Vec<u8>], count: u32, tail: &[u8]) -> Vec<u8> {
    let mut body = count.to_le_bytes().to_vec();
    body.extend(2.5f64.to_le_bytes());
    for record in records {
        let mut record = record.clone();
        record.resize(codec::EVENT_BYTES, 0);
        body.extend(record);
    }
    body.extend(tail);
    [&(body.len() as u32).to_le_bytes()[..], &body].concat()
}

fn open_instance(settings: &str) -> Vec<u8> {
    [&[1u8, 3, 0][..], &7u64.to_le_bytes(), &0u32.to_le_bytes(), &(settings.len() as u32).to_le_bytes()]
        .concat()
}

fn serve_error(input: &[u8]) -> String {
    let Err(error) = serve(input, Vec::new()) else { panic!("accepted") };
    error.to_string()
}

#[test]
fn empty_batch_gives_empty_reply_and_clean_end() {
    let mut output = Vec::new();
    assert_eq!(serve(&frame(&[], 0, &[])[..], &mut output), Ok(()));
    assert_eq!(output, [4, 0, 0, 0, 0, 0, 0, 0]);
    assert_eq!(serve(&[][..], Vec::new()), Ok(()));
}

#[test]
fn malformed_frame_gives_error_that_names_fault() {
    assert!(serve_error(&[1, 2]).contains("inside the length field"));
    assert!(serve_error(&[200, 0, 0, 0, 1]).contains("after 1 of 200 bytes"));
    assert!(serve_error(&[2, 0, 0, 0, 1, 1]).contains("shorter than its header"));
    assert!(serve_error(&frame(&[], 9, &[])).contains("9 records do not fit"));
    assert!(serve_error(&frame(&[vec![99]], 1, &[])).contains("record 0: unknown event code 99"));
    assert!(serve_error(&frame(&[open_instance("x=1")], 1, &[])).contains("outside the tail"));
    let registry = [&[2u8, 3, 0, 2][..], &[0; 8], &5u32.to_le_bytes()].concat();
    let start = open_instance("");
    assert!(serve_error(&frame(&[start, registry], 2, &[])).contains("no sheet numbered 5"));
}

#[test]
fn missing_setting_at_open_gives_fatal_with_its_name() {
    let text = "tickS=0.002";
    let mut output = Vec::new();
    assert_eq!(serve(&frame(&[open_instance(text)], 1, text.as_bytes())[..], &mut output), Ok(()));
    assert_eq!(output[8..11], [9, 3, 0]);
    assert!(String::from_utf8_lossy(&output).contains("op_types.count is missing"));
}

#[test]
fn boot_info_is_translated_to_setting_names() {
    let settings = umbertray_setting_names::from_lines(
        "profiles.0.promiseS=0.3\nprofiles.0.effect=single_shot\nbad line\ndiscovery=subscribe",
    );
    let pairs: Vec<_> = settings.iter().map(|(k, v)| (k.as_str(), v.as_str())).collect();
    let expected =
        [("discovery", "asked"), ("op_types.0.repeats", "once_only"), ("op_types.0.target_latency", "0.3")];
    assert_eq!(pairs, expected);
}

#[test]
fn record_and_reply_have_bytes_of_wire() {
    let mut record = vec![6u8, 5, 0];
    record.extend(77u64.to_le_bytes());
    let batch = codec::read_batch(&frame(&[record], 1, &[])[4..]).expect("well formed");
    assert_eq!(batch.now, 2.5);
    assert_eq!(batch.items, [Item::Event { instance: 5, record: Record::ClientLeft { tid: 77 } }]);
    let mut reply = Reply::default();
    reply.place(3, 77, [10, 18, 74, 7, 43, 35], Duration::from_millis(1250));
    reply.emit(3, "two");
    let bytes = reply.frame();
    assert_eq!(bytes.len(), 8 + 2 * codec::ACTION_BYTES + 3);
    assert_eq!(bytes[8..25], [4, 3, 0, 77, 0, 0, 0, 0, 0, 0, 0, 10, 18, 74, 7, 43, 35]);
    assert_eq!(bytes[25..33], 1.25f64.to_le_bytes());
    assert_eq!(bytes[8 + 2 * codec::ACTION_BYTES..], *b"two");
}
