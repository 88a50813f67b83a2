//! Files of resources (`path_config_source`), which are read again when they change.

use super::driver::Shared;
use rushquay_control_service::{FileWatcher, POLL_INTERVAL};
use rushquay_envoy::resource::file;
use rushquay_envoy::{Notes, Source};
use rushquay_xds::Kind;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;

/// The maximum length of a file.
const MAX_FILE_BYTES: u64 = 64 << 20;

/// A file and the result of its last read.
#[derive(Default)]
struct WatchedFile {
    watched: FileWatcher,
    /// The text of the last successful read, or the error.
    last: Option<Result<String, String>>,
}

/// Watches all files that the catalogue refers to, until the thread ends.
pub async fn follow(shared: Rc<Shared>) {
    let mut watched_files: BTreeMap<(PathBuf, Kind), WatchedFile> = BTreeMap::new();
    loop {
        let wanted = shared.catalogue.borrow().files();
        watched_files.retain(|key, _| wanted.contains(key));
        for key in wanted {
            let file_state = watched_files.entry(key.clone()).or_default();
            if let Some(will_retry) = file_state.watched.should_read(&key.0) {
                read(&shared, &key.0, key.1, file_state, will_retry);
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn read(shared: &Shared, path: &PathBuf, kind: Kind, file_state: &mut WatchedFile, will_retry: bool) {
    let text = match std::fs::metadata(path) {
        Ok(m) if m.len() > MAX_FILE_BYTES => Err(format!("longer than {MAX_FILE_BYTES} bytes")),
        _ => std::fs::read_to_string(path).map_err(|e| {
            file_state.watched.read_failed();
            e.to_string()
        }),
    };
    if matches!((&text, &file_state.last), (Ok(text), Some(Ok(last))) if text == last) {
        return;
    }
    let read = text.and_then(|text| {
        let resources = file(kind, &text, &mut Notes::default()).map_err(|e| e.to_string())?;
        Ok((text, resources))
    });
    match read {
        Ok((text, resources)) => {
            file_state.last = Some(Ok(text));
            let (source, now) = (Source::File(path.clone()), shared.clock.now());
            shared.catalogue.borrow_mut().apply(&source, kind, resources, &[], true, now);
            shared.changed.notify_one();
        }
        // The file may be half written and will be read again; the previous resources stay in force.
        Err(_) if will_retry => {}
        Err(why) => {
            let why = format!("{}: {why}", path.display());
            if file_state.last != Some(Err(why.clone())) {
                crate::proxy::log(format_args!("rejected, keeping the previous resources: {why}"));
                shared.catalogue.borrow_mut().record_rejection(kind, why.clone());
                file_state.last = Some(Err(why));
            }
        }
    }
}
