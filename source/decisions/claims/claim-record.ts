/**
Stored record of the claim on an idempotency key.
*/

/**
Claim of one non-repeatable call on the idempotency key that its caller sent.

- `claimed`: the call may have run; its outcome is not recorded.
- `done`: the call ran to its end.
*/
export type ClaimRecord = {
	/** Identifier of the request that made the claim. */
	readonly claimant: string;
	/** Hash of the request, to detect a key that is reused for a different request. */
	readonly digest: string;
	readonly state: 'claimed' | 'done';
};
