"""Names of prefix blocks, and beliefs about which engines have them in their caches."""
