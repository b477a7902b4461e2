//! Keys for a deployment, in one step.

use {
    crate::error::Error,
    gingerpier_base::{Name, place::Role},
    gingerpier_link::{Authority, Identity},
    std::path::Path,
};

/// Makes an authority in `folder`, where there is none, and keys for each name below it.
///
/// # Errors
///
/// Where the folder can't be written.
pub fn make(folder: &Path, named: &[(Role, Name)]) -> Result<(), Error> {
    let authority = Authority::open_or_create(folder)?;
    for (role, name) in named {
        let identity = Identity {
            role: *role,
            name: name.clone(),
        };
        let own = folder.join(role.as_str()).join(name.as_str());
        authority.issue(&identity, &own)?;
        println!("{identity}: {}", own.display());
    }
    Ok(())
}
