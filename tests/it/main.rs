//! Tests of the decision core, the replay and the processes.

mod admission;
mod advice;
mod cell;
mod examples;
mod gang_steps;
mod graph;
mod graph_faults;
mod in_touch;
mod near;
mod odd_jobs;
mod pace;
mod pages;
mod plan_health;
mod plan_mask;
mod plan_predict;
mod plan_property;
mod promises;
mod reach;
mod replay;
mod session;
mod settings;
mod spare;
mod stage;
mod support;
mod takeover;
mod whole_path;
