//! Certificates for tests and the quick start: an authority and one identity a VM.

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use std::io;
use std::path::{Path, PathBuf};

/// A certificate authority made for one deployment.
#[derive(Debug)]
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    pem: String,
}

impl Authority {
    /// Makes a new authority.
    ///
    /// # Errors
    /// If no key could be made.
    ///
    /// # Examples
    /// ```
    /// let authority = spanfold_standin::Authority::new().unwrap();
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

    /// The authority's certificate.
    pub fn pem(&self) -> &str {
        &self.pem
    }

    /// A certificate and key for the VM called `name`.
    fn issue(&self, name: &str) -> io::Result<(String, String)> {
        let key = KeyPair::generate().map_err(io::Error::other)?;
        let params = CertificateParams::new(vec![name.to_owned()]).map_err(io::Error::other)?;
        let certificate = params.signed_by(&key, &self.issuer).map_err(io::Error::other)?;
        Ok((certificate.pem(), key.serialize_pem()))
    }
}

/// Writes certificate, key and authority of the VM called `name`; returns their paths.
///
/// # Errors
/// If a file cannot be written.
pub fn write_identity(authority: &Authority, folder: &Path, name: &str) -> io::Result<[PathBuf; 3]> {
    let (certificate, key) = authority.issue(name)?;
    let paths = ["certificate", "key", "authority"].map(|part| folder.join(format!("{name}-{part}.pem")));
    std::fs::write(&paths[0], certificate)?;
    std::fs::write(&paths[1], key)?;
    std::fs::write(&paths[2], authority.pem())?;
    Ok(paths)
}
