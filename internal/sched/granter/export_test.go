package granter

// OwnerGracePeriod exports ownerGracePeriod for tests.
const OwnerGracePeriod = ownerGracePeriod
