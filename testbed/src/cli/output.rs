//! The files and folders that commands write.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use serde::Serialize;

use super::error::{failed, failed_at, CommandError};

/// Bounds the number of results of one name in a folder.
const MAX_RESULTS_OF_ONE_NAME: usize = 10_000;

/// Creates a new result folder, with a number added to the name if the folder exists already.
pub(super) fn new_result_folder(out: &Path, name: &str) -> Result<PathBuf, CommandError> {
    create_folder(out)?;
    for nth in 1..MAX_RESULTS_OF_ONE_NAME {
        let folder = out.join(if nth == 1 { name.to_owned() } else { format!("{name}-{nth}") });
        match std::fs::create_dir(&folder) {
            Ok(()) => return Ok(folder),
            Err(cause) if cause.kind() == io::ErrorKind::AlreadyExists => {}
            Err(cause) => return Err(failed_at(&folder, cause)),
        }
    }
    Err(failed_at(out, format_args!("too many results named {name}: remove some")))
}

pub(super) fn create_folder(path: &Path) -> Result<(), CommandError> {
    std::fs::create_dir_all(path).map_err(|cause| failed_at(path, cause))
}

pub(super) fn write(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(|cause| failed_at(path, cause))
}

pub(super) fn to_json(value: &impl Serialize) -> Result<String, CommandError> {
    serde_json::to_string(value).map_err(failed)
}

/// A file of JSON lines in a result's folder.
pub(super) struct JsonLines(File);

impl JsonLines {
    pub(super) fn create(folder: &Path, name: &str) -> Result<JsonLines, CommandError> {
        let file = File::create(folder.join(name)).map_err(|cause| failed_at(folder, cause))?;
        Ok(JsonLines(file))
    }

    /// Writes a value as a line and returns the line.
    pub(super) fn append(&mut self, value: &impl Serialize) -> Result<String, CommandError> {
        let line = to_json(value)?;
        writeln!(self.0, "{line}").map_err(failed)?;
        Ok(line)
    }
}
