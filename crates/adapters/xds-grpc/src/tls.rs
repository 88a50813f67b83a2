//! Mutual TLS: both ends show a certificate that the other's authority has signed.

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tonic::transport::{Certificate, ClientTlsConfig, Identity, ServerTlsConfig};

/// Where the PEM files are.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// This end's certificate, with the chain behind it.
    pub cert: PathBuf,
    /// Its private key.
    pub key: PathBuf,
    /// The authority that signs the other end's certificate.
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
        /// Why.
        source: std::io::Error,
    },
    /// A file holds no PEM block of its sort.
    #[error("tls.{field}: {path}: expected a PEM block \"{expected}\"")]
    NotPem {
        /// The field.
        field: &'static str,
        /// The file.
        path: PathBuf,
        /// What was expected.
        expected: &'static str,
    },
    /// Listening beyond loopback without TLS.
    #[error(
        "{what} {addr} is beyond loopback and has no TLS; set [tls] cert, key and ca, or listen on 127.0.0.1"
    )]
    Bare {
        /// What would listen.
        what: &'static str,
        /// Where.
        addr: SocketAddr,
    },
}

/// The files' contents.
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
    /// A file that can't be read, or that holds no PEM.
    pub fn read(files: &TlsFiles) -> Result<Self, TlsError> {
        let read = |field, path: &Path, expected: &'static str| {
            let bytes = std::fs::read(path).map_err(|source| TlsError::File {
                field,
                path: path.to_owned(),
                source,
            })?;
            let text = String::from_utf8_lossy(&bytes);
            let fits = text.lines().any(|l| l.starts_with("-----BEGIN ") && l.contains(expected));
            fits.then_some(bytes).ok_or(TlsError::NotPem { field, path: path.to_owned(), expected })
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

    /// A client's side; without a name the server's certificate must bear the host that is connected to.
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

/// Refuses to listen beyond loopback without TLS.
///
/// # Errors
/// [`TlsError::Bare`].
pub fn require_tls_beyond_loopback(what: &'static str, addr: SocketAddr, tls: bool) -> Result<(), TlsError> {
    match tls || addr.ip().is_loopback() {
        true => Ok(()),
        false => Err(TlsError::Bare { what, addr }),
    }
}
