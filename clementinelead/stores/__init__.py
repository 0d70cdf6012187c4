"""The platform's key-value store, met through its published protocol."""
