//! The program that an arm of an experiment starts as its balancers.

use std::path::PathBuf;

use thiserror::Error;

use crate::experiment::Arm;

/// Why an arm has no program.
#[derive(Debug, Error)]
pub enum ProgramError {
    /// The path of this program, beside which others are looked for, could not be read.
    #[error("cannot determine the path of the running program: {0}")]
    OwnPathUnknown(std::io::Error),
    /// The arm names two programs.
    #[error("arm {arm} sets both `program` and `baseline`; set one of them")]
    Ambiguous {
        /// The arm's name.
        arm: String,
    },
    /// The program's file does not exist.
    #[error("arm {arm}: program {} does not exist; build it with `cargo build --release`", path.display())]
    Missing {
        /// The arm's name.
        arm: String,
        /// The path that was tried.
        path: PathBuf,
    },
}

/// What an arm starts: the program and its arguments.
#[derive(Clone, Debug)]
pub struct Program {
    /// The path of the executable.
    pub path: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// The path of an operators' map of zones to regions, if any.
    pub regions: Option<PathBuf>,
    /// The preload library that injects faults into its system calls, if any.
    pub fault_library: Option<PathBuf>,
}

impl Program {
    /// The program that an arm names, the baseline router of this program that it names, or else
    /// the balancer beside this program.
    ///
    /// # Errors
    /// If the arm is ambiguous or its program does not exist; the text says how to build it.
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
