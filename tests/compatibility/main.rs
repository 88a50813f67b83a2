//! Everything that others rely on: the command line, settings files, admin pages, metrics, messages, stored data and the actions of the
//! decision module. What each of them looks like stands in files under `golden/`, written once by the version that these tests came with.
//! A difference is a breaking change of the program, never a reason to write the file anew.

mod admin_pages;
mod command_line;
mod decisions;
mod deploy_file;
mod golden;
mod messages;
mod proxied_requests;
#[path = "../rig/mod.rs"]
mod rig;
mod settings_files;
mod stored_state;
mod xds_resources;
