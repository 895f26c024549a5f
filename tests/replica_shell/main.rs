//! Replicas with their files and connections: real ones, and stand-ins that fail.

mod disk;
mod files;
mod group;
mod proxy;
mod running;
mod space;
