//! The program that an arm of an experiment starts as its balancers.

use std::path::PathBuf;

use thiserror::Error;

use crate::experiment::Arm;

/// Why an arm has no program.
#[derive(Debug, Error)]
pub enum ProgramError {
    /// The place of this program, beside which others are looked for, is not known.
    #[error("where this program lies: {0}")]
    OwnPathUnknown(std::io::Error),
    /// The arm names two programs.
    #[error("arm {arm}: a program or a baseline, not both")]
    Ambiguous {
        /// The arm's name.
        arm: String,
    },
    /// There is no such file.
    #[error("arm {arm}: there is no program {}: build it with `cargo build --release`", path.display())]
    Missing {
        /// The arm's name.
        arm: String,
        /// Where it was looked for.
        path: PathBuf,
    },
}

/// What an arm starts: the program and its arguments.
#[derive(Clone, Debug)]
pub struct Program {
    /// The file.
    pub path: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// An operators' map of zones to regions, if it is given one.
    pub regions: Option<PathBuf>,
    /// The preload library by which its system calls are made to fail, if they are.
    pub fault_library: Option<PathBuf>,
}

impl Program {
    /// The program that an arm names, a baseline of this program, or else the balancer beside this
    /// program.
    ///
    /// # Errors
    /// Where there is no such program; the text says what to build.
    pub fn for_arm(arm: &Arm) -> Result<Program, ProgramError> {
        let regions = arm.regions.clone();
        let program = match (&arm.program, arm.baseline) {
            (Some(_), Some(_)) => return Err(ProgramError::Ambiguous { arm: arm.name.clone() }),
            (Some(path), None) => {
                Program { path: path.clone(), arguments: Vec::new(), regions, fault_library: None }
            }
            (None, Some(baseline)) => {
                let arguments = vec!["router".to_owned(), baseline.name().to_owned()];
                Program { path: own_path()?, arguments, regions, fault_library: None }
            }
            (None, None) => {
                let path = own_path()?.with_file_name("basaltwood-balancer");
                Program { path, arguments: Vec::new(), regions, fault_library: None }
            }
        };
        if !program.path.is_file() {
            return Err(ProgramError::Missing { arm: arm.name.clone(), path: program.path });
        }
        Ok(program)
    }
}

fn own_path() -> Result<PathBuf, ProgramError> {
    std::env::current_exe().map_err(ProgramError::OwnPathUnknown)
}
