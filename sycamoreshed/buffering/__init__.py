"""Memory for bodies and answers, and peers that read slowly."""
