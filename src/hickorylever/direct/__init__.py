"""Router that forwards requests directly to endpoints, for VMs where no sidecars run."""
