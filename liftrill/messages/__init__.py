"""Generated protobuf modules; the definitions are under `proto/`."""
