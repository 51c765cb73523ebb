"""Management of the backend servers, their key ranges and the published configuration."""
