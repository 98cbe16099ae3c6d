package rollout

// SummariesPath is the path at which entries show operators their Summaries, in JSON.
const SummariesPath = "/v1/rollouts"
