//! Plays loads and checks what callers get, class by class.
