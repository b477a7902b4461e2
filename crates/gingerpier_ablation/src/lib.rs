//! Ablation: what each mechanism is worth, by playing the same days with the code as it is and with one
//! mechanism taken out.
//!
//! A table names the mechanisms, each with a patch that takes it out, and the days. For each of them a trial
//! tree is patched, the days are played there by a program that is given as an argument and leaves its
//! figures as journal entries, and the patch is undone. Same seeds on both sides, so that a day's own luck
//! counts on neither.

pub mod error;
pub mod journal;
pub mod plot;
pub mod report;
pub mod runner;
pub mod statistics;
pub mod table;
pub mod tree;
