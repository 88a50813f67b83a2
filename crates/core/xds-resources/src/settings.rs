//! Texts for proxies as xDS resources (ECDS): the settings of each, a policy lease for each, and the policies in
//! force for all. Each proxy subscribes to its own only.

use crate::names::{settings_name, TEXT_TYPE};
use bytes::Bytes;
use envoy_types::pb::envoy::config::core::v3::TypedExtensionConfig;
use envoy_types::pb::google::protobuf::Any;
use prost::Message;
use rushquay_config_version::ConfigAssignment;
use rushquay_xds::{version_of, Declared, Kind, Nanos, Store};

/// Declares a text under a name; returns false where it is unchanged.
pub fn declare_text(store: &mut Store, name: &str, text: &str, now: Nanos) -> bool {
    let config = Any { type_url: TEXT_TYPE.into(), value: text.to_owned().encode_to_vec() };
    let message = TypedExtensionConfig { name: name.to_owned(), typed_config: Some(config) };
    let declared = Declared {
        version: version_of(format!("{name} {text}").as_bytes()),
        body: Bytes::from(message.encode_to_vec()),
    };
    store.set(Kind::Extension, name, declared, now)
}

/// Removes a text.
pub fn remove_text(store: &mut Store, name: &str, now: Nanos) -> bool {
    store.remove(Kind::Extension, name, now)
}

/// Declares the settings of a proxy; returns false where they are unchanged.
pub fn declare_settings(store: &mut Store, proxy: &str, assignment: &ConfigAssignment, now: Nanos) -> bool {
    declare_text(store, &settings_name(proxy), &assignment.text(), now)
}

/// Removes the settings of a proxy that was decommissioned.
pub fn remove_settings(store: &mut Store, proxy: &str, now: Nanos) -> bool {
    remove_text(store, &settings_name(proxy), now)
}
