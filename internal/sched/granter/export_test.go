package granter

// DropAfter is how long the places of a silent gateway are kept.
const DropAfter = dropAfter
