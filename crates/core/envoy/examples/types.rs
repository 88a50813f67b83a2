//! Regenerates `src/pb`: the types of Envoy's messages with only the obeyed fields. The published types contain every
//! field and every message that a field refers to, and add ten megabytes to the binary.
//!
//! `cargo run -p rushquay-envoy --example types -- DESCRIPTORS`, where DESCRIPTORS is the descriptor set in the
//! envoy-types package (`src/generated/types.bin`).

use prost::Message as _;
use prost_types::field_descriptor_proto::Type;
use prost_types::{DescriptorProto, EnumDescriptorProto, FileDescriptorProto, FileDescriptorSet};
use rushquay_envoy::fields::{message, Rule};
use std::collections::HashSet;
use std::path::Path;

const WELL_KNOWN: [&str; 4] = ["any", "duration", "wrappers", "struct"];

fn obeyed_fields(full: &str) -> Option<HashSet<&'static str>> {
    let fields = &message(full)?.fields;
    Some(fields.iter().filter(|f| f.rule == Rule::Obeyed).map(|f| f.name).collect())
}

/// Collects the enum types of obeyed fields.
fn enums(prefix: &str, messages: &[DescriptorProto], found: &mut HashSet<String>) {
    for m in messages {
        let full = format!("{prefix}.{}", m.name());
        if let Some(kept) = obeyed_fields(&full) {
            let used_enums = m.field.iter().filter(|f| f.r#type() == Type::Enum && kept.contains(f.name()));
            found.extend(used_enums.map(|f| f.type_name().to_owned()));
        }
        enums(&full, &m.nested_type, found);
    }
}

fn without_options(e: &EnumDescriptorProto) -> EnumDescriptorProto {
    let mut e = e.clone();
    e.options = None;
    e.value.iter_mut().for_each(|v| v.options = None);
    e
}

fn prune(full: &str, m: &DescriptorProto, enums: &HashSet<String>) -> Option<DescriptorProto> {
    let mut out = DescriptorProto { name: m.name.clone(), ..DescriptorProto::default() };
    let kept = obeyed_fields(full);
    let mut groups = Vec::new();
    for field in m.field.iter().filter(|f| kept.as_ref().is_some_and(|k| k.contains(f.name()))) {
        let mut field = field.clone();
        field.options = None;
        if let Some(group) = field.oneof_index {
            let at = groups.iter().position(|g| *g == group).unwrap_or_else(|| {
                let mut one = m.oneof_decl[group as usize].clone();
                one.options = None;
                out.oneof_decl.push(one);
                groups.push(group);
                groups.len() - 1
            });
            field.oneof_index = Some(at as i32);
        }
        out.field.push(field);
    }
    let kept_enums = m.enum_type.iter().filter(|e| enums.contains(&format!(".{full}.{}", e.name())));
    out.enum_type = kept_enums.map(without_options).collect();
    for nested in &m.nested_type {
        let name = format!("{full}.{}", nested.name());
        if nested.options.as_ref().is_some_and(|o| o.map_entry()) {
            if out.field.iter().any(|f| f.type_name() == format!(".{name}")) {
                out.nested_type.push(nested.clone());
            }
        } else {
            out.nested_type.extend(prune(&name, nested, enums));
        }
    }
    (kept.is_some() || !out.enum_type.is_empty() || !out.nested_type.is_empty()).then_some(out)
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let path = std::env::args().nth(1).ok_or("usage: types DESCRIPTORS (the path of the descriptor set)")?;
    let all = FileDescriptorSet::decode(std::fs::read(path)?.as_slice())?;
    let mut used_enums = HashSet::new();
    all.file.iter().for_each(|f| enums(f.package(), &f.message_type, &mut used_enums));
    let mut kept = FileDescriptorSet::default();
    for file in &all.file {
        if file.package().starts_with("google") {
            let name = file.name().trim_start_matches("google/protobuf/").trim_end_matches(".proto");
            kept.file.extend(WELL_KNOWN.contains(&name).then(|| file.clone()));
            continue;
        }
        let package = file.package();
        let messages = file.message_type.iter();
        let messages = messages.filter_map(|m| prune(&format!("{package}.{}", m.name()), m, &used_enums));
        let enums =
            file.enum_type.iter().filter(|e| used_enums.contains(&format!(".{package}.{}", e.name())));
        let out = FileDescriptorProto {
            name: file.name.clone(),
            package: file.package.clone(),
            syntax: file.syntax.clone(),
            message_type: messages.collect(),
            enum_type: enums.map(without_options).collect(),
            ..FileDescriptorProto::default()
        };
        kept.file.extend((!out.message_type.is_empty() || !out.enum_type.is_empty()).then_some(out));
    }
    let to = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/pb");
    std::fs::create_dir_all(&to)?;
    prost_build::Config::new()
        .out_dir(&to)
        .include_file("mod.rs")
        .extern_path(".google.protobuf", "::envoy_types::pb::google::protobuf")
        .compile_well_known_types()
        .compile_fds(kept)?;
    for file in std::fs::read_dir(&to)? {
        let path = file?.path();
        let text = std::fs::read_to_string(&path)?;
        let rest = text.split_once('\n').map_or("", |(_, rest)| rest);
        std::fs::write(path, format!("// Made by examples/types.rs from the descriptors of the published API; not to be changed by hand.\n{rest}"))?;
    }
    Ok(())
}
