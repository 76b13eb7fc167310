/**
The claim of an idempotency key, as it is stored.
*/

/**
One non-repeatable call under a caller's idempotency key.

`claimed` means that the call may have run and its outcome is not recorded;
`done` that it ran to its end.
*/
export type ClaimRecord = {
	/** Identifier of the request that made the claim. */
	readonly claimant: string;
	/** Hash of what was asked, so that a key is not used for two requests. */
	readonly digest: string;
	readonly state: 'claimed' | 'done';
};
