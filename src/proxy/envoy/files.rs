//! Files of resources (`path_config_source`): read again when they change.

use super::driver::Shared;
use rushquay_control_service::{Watched, LOOK_EVERY};
use rushquay_envoy::resource::file;
use rushquay_envoy::{Notes, Source};
use rushquay_xds::Kind;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;

/// A file is at most this long.
const FILE_MOST: u64 = 64 << 20;

#[derive(Default)]
struct Followed {
    watched: Watched,
    /// What it was last read as, or what was wrong with it.
    last: Option<Result<String, String>>,
}

/// Follows all files that the catalogue refers to, for good.
pub async fn follow(shared: Rc<Shared>) {
    let mut followed: BTreeMap<(PathBuf, Kind), Followed> = BTreeMap::new();
    loop {
        let wanted = shared.catalogue.borrow().files();
        followed.retain(|key, _| wanted.contains(key));
        for key in wanted {
            let this = followed.entry(key.clone()).or_default();
            if let Some(soon) = this.watched.look(&key.0) {
                read(&shared, &key.0, key.1, this, soon);
            }
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

fn read(shared: &Shared, path: &PathBuf, kind: Kind, this: &mut Followed, soon: bool) {
    let text = match std::fs::metadata(path) {
        Ok(m) if m.len() > FILE_MOST => Err(format!("longer than {FILE_MOST} bytes")),
        _ => std::fs::read_to_string(path).map_err(|e| {
            this.watched.unread();
            e.to_string()
        }),
    };
    if matches!((&text, &this.last), (Ok(text), Some(Ok(last))) if text == last) {
        return;
    }
    let read = text.and_then(|text| {
        let resources = file(kind, &text, &mut Notes::default()).map_err(|e| e.to_string())?;
        Ok((text, resources))
    });
    match read {
        Ok((text, resources)) => {
            this.last = Some(Ok(text));
            let (source, now) = (Source::File(path.clone()), shared.clock.now());
            shared.catalogue.borrow_mut().take(&source, kind, resources, &[], true, now);
            shared.kick.notify_one();
        }
        // A half-written file passes. What was read before stands.
        Err(_) if soon => {}
        Err(why) => {
            let why = format!("{}: {why}", path.display());
            if this.last != Some(Err(why.clone())) {
                crate::proxy::log(format_args!("refused, what stood before goes on: {why}"));
                shared.catalogue.borrow_mut().refuse(kind, why.clone());
                this.last = Some(Err(why));
            }
        }
    }
}
