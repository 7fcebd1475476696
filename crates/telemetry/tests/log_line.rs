//! What a log line holds.

use std::sync::{Arc, Mutex};

use nutmegsail_telemetry::{Event, log_event};
use slog::{Drain, Logger, o};

#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0
            .lock()
            .expect("no writer panics")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_log_line_holds_number_name_and_pairs() {
    let sink = Sink::default();
    let json = slog_json::Json::new(sink.clone())
        .add_key_value(o!("msg" => slog::PushFnValue(|record, ser| ser.emit(record.msg()))))
        .build();
    let log = Logger::root(Mutex::new(json).map(slog::Fuse), o!());
    log_event!(log, Event::PeerUnreachable, "peer" => "negril-2", "silent_ms" => 2100);
    let line = String::from_utf8(sink.0.lock().unwrap().clone()).unwrap();
    insta::assert_snapshot!(
        line,
        @r#"{"msg":"PeerUnreachable","silent_ms":2100,"peer":"negril-2","event":"NE4002"}"#
    );
}
