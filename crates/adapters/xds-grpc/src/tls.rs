//! Mutual TLS: both sides present a certificate that the other side's authority has signed.

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tonic::transport::{Certificate, ClientTlsConfig, Identity, ServerTlsConfig};

/// The paths of the PEM files.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// The certificate of this side, with its chain.
    pub cert: PathBuf,
    /// The private key.
    pub key: PathBuf,
    /// The authority that signs the certificates of the other side.
    pub ca: PathBuf,
}

/// Why TLS can't be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A file can't be read.
    #[error("tls.{field}: {path}: {source}; give a PEM file that this program may read")]
    File {
        /// The field.
        field: &'static str,
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A file has no PEM block of the expected kind.
    #[error("tls.{field}: {path}: expected a PEM block \"{expected}\"")]
    NotPem {
        /// The field.
        field: &'static str,
        /// The file.
        path: PathBuf,
        /// What was expected.
        expected: &'static str,
    },
    /// A listener beyond loopback without TLS.
    #[error(
        "{what} {addr} is beyond loopback and has no TLS; set [tls] cert, key and ca, or listen on 127.0.0.1"
    )]
    Bare {
        /// The listener.
        what: &'static str,
        /// Its address.
        addr: SocketAddr,
    },
}

/// The contents of the files.
#[derive(Clone)]
pub struct Tls {
    cert: Vec<u8>,
    key: Vec<u8>,
    ca: Vec<u8>,
}

impl Tls {
    /// Reads the files.
    ///
    /// # Errors
    /// A file that can't be read, or that is not PEM.
    pub fn read(files: &TlsFiles) -> Result<Self, TlsError> {
        let read = |field, path: &Path, expected: &'static str| {
            let bytes = std::fs::read(path).map_err(|source| TlsError::File {
                field,
                path: path.to_owned(),
                source,
            })?;
            let text = String::from_utf8_lossy(&bytes);
            let is_pem = text.lines().any(|l| l.starts_with("-----BEGIN ") && l.contains(expected));
            is_pem.then_some(bytes).ok_or(TlsError::NotPem { field, path: path.to_owned(), expected })
        };
        Ok(Tls {
            cert: read("cert", &files.cert, "CERTIFICATE")?,
            key: read("key", &files.key, "PRIVATE KEY")?,
            ca: read("ca", &files.ca, "CERTIFICATE")?,
        })
    }

    pub(crate) fn server(&self) -> ServerTlsConfig {
        ServerTlsConfig::new()
            .identity(Identity::from_pem(&self.cert, &self.key))
            .client_ca_root(Certificate::from_pem(&self.ca))
    }

    /// The configuration of a client; without a name the server's certificate must be valid for the host that is
    /// connected to.
    pub fn client(&self, server_name: Option<&str>) -> ClientTlsConfig {
        let config = ClientTlsConfig::new()
            .identity(Identity::from_pem(&self.cert, &self.key))
            .ca_certificate(Certificate::from_pem(&self.ca));
        match server_name {
            Some(name) => config.domain_name(name),
            None => config,
        }
    }
}

/// Rejects a listener beyond loopback without TLS.
///
/// # Errors
/// [`TlsError::Bare`].
pub fn require_tls_beyond_loopback(what: &'static str, addr: SocketAddr, tls: bool) -> Result<(), TlsError> {
    match tls || addr.ip().is_loopback() {
        true => Ok(()),
        false => Err(TlsError::Bare { what, addr }),
    }
}
