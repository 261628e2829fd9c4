//! Certificates for tests and the quick start: an authority and one identity per VM.

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use std::io;
use std::path::{Path, PathBuf};

/// The certificate authority of one deployment.
#[derive(Debug)]
pub struct CertificateAuthority {
    issuer: Issuer<'static, KeyPair>,
    pem: String,
}

impl CertificateAuthority {
    /// Creates an authority with a new key.
    ///
    /// # Errors
    /// If key or certificate cannot be created.
    ///
    /// # Examples
    /// ```
    /// let authority = spanfold_standin::CertificateAuthority::new().unwrap();
    /// assert!(authority.pem().contains("BEGIN CERTIFICATE"));
    /// ```
    pub fn new() -> io::Result<Self> {
        let key = KeyPair::generate().map_err(io::Error::other)?;
        let mut params = CertificateParams::new(Vec::new()).map_err(io::Error::other)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key).map_err(io::Error::other)?;
        let pem = certificate.pem();
        Ok(Self { issuer: Issuer::new(params, key), pem })
    }

    /// Returns the authority's certificate as PEM text.
    pub fn pem(&self) -> &str {
        &self.pem
    }

    /// Issues a certificate for the VM `name`; returns it and its key as PEM text.
    fn issue(&self, name: &str) -> io::Result<(String, String)> {
        let key = KeyPair::generate().map_err(io::Error::other)?;
        let params = CertificateParams::new(vec![name.to_owned()]).map_err(io::Error::other)?;
        let certificate = params.signed_by(&key, &self.issuer).map_err(io::Error::other)?;
        Ok((certificate.pem(), key.serialize_pem()))
    }
}

/// Writes certificate, key and authority of the VM `name` to files; returns their paths in this order.
///
/// # Errors
/// If a file cannot be written.
pub fn write_identity(
    authority: &CertificateAuthority,
    folder: &Path,
    name: &str,
) -> io::Result<[PathBuf; 3]> {
    let (certificate, key) = authority.issue(name)?;
    let paths = ["certificate", "key", "authority"].map(|kind| folder.join(format!("{name}-{kind}.pem")));
    std::fs::write(&paths[0], certificate)?;
    std::fs::write(&paths[1], key)?;
    std::fs::write(&paths[2], authority.pem())?;
    Ok(paths)
}
