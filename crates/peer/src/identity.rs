//! A VM's identity: its name, certificate and key, and its certificate authority.
//!
//! Invariant: both sides of a connection present a certificate of the same authority that is valid
//! for the VM name that they state; the key of one VM cannot authenticate another.

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Time without traffic after which a connection is closed; heartbeats are sent every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Why an identity cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum IdentityError {
    /// A PEM file cannot be read.
    #[error("{file}: {cause}")]
    File {
        /// The file.
        file: String,
        /// The error.
        cause: String,
    },
    /// Certificate, key and authority do not match.
    #[error("certificate, key and authority do not match: {0}")]
    Mismatch(String),
    /// The address cannot be listened on.
    #[error("cannot listen: {0}")]
    Listen(#[from] std::io::Error),
}

/// A VM's name with TLS configurations from its certificate, key and authority.
#[derive(Debug)]
pub struct PeerIdentity {
    pub(crate) name: String,
    pub(crate) server: quinn::ServerConfig,
    pub(crate) client: quinn::ClientConfig,
}

impl PeerIdentity {
    /// Reads the identity of the VM called `name` from PEM files.
    ///
    /// # Errors
    /// If a file cannot be read, or certificate, key and authority do not match.
    ///
    /// # Examples
    /// ```
    /// use spanfold_peer::PeerIdentity;
    /// let missing = std::path::Path::new("no-such.pem");
    /// assert!(PeerIdentity::read("vm-1", missing, missing, missing).is_err());
    /// ```
    pub fn read(name: &str, certificate: &Path, key: &Path, authority: &Path) -> Result<Self, IdentityError> {
        let mismatch = |error: &dyn std::fmt::Display| IdentityError::Mismatch(error.to_string());
        let chain = read_certificates(certificate)?;
        let key = PrivateKeyDer::from_pem_file(key).map_err(|error| file_error(key, &error))?;
        let mut roots = rustls::RootCertStore::empty();
        for root in read_certificates(authority)? {
            roots.add(root).map_err(|error| mismatch(&error))?;
        }
        let roots = Arc::new(roots);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(&provider))
            .build()
            .map_err(|error| mismatch(&error))?;
        let server = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|error| mismatch(&error))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(|error| mismatch(&error))?;
        let client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|error| mismatch(&error))?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)
            .map_err(|error| mismatch(&error))?;
        let mut transport = quinn::TransportConfig::default();
        transport.max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
        let transport = Arc::new(transport);
        let server = QuicServerConfig::try_from(server).map_err(|error| mismatch(&error))?;
        let client = QuicClientConfig::try_from(client).map_err(|error| mismatch(&error))?;
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(server));
        server.transport_config(Arc::clone(&transport));
        let mut client = quinn::ClientConfig::new(Arc::new(client));
        client.transport_config(transport);
        Ok(Self { name: name.to_owned(), server, client })
    }
}

/// Whether the peer's certificate on `connection` is valid for `name`.
pub(crate) fn is_certified_as(connection: &quinn::Connection, name: &str) -> bool {
    let Some(identity) = connection.peer_identity() else { return false };
    let Ok(chain) = identity.downcast::<Vec<CertificateDer<'static>>>() else { return false };
    let Some(Ok(certificate)) = chain.first().map(webpki::EndEntityCert::try_from) else { return false };
    ServerName::try_from(name).is_ok_and(|name| certificate.verify_is_valid_for_subject_name(&name).is_ok())
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, IdentityError> {
    CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|error| file_error(path, &error))
}

fn file_error(path: &Path, error: &dyn std::fmt::Display) -> IdentityError {
    IdentityError::File { file: path.display().to_string(), cause: error.to_string() }
}
