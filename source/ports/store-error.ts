/**
Failure of a call to the key-value service.
*/

/**
`did not happen` is said only when the call cannot have taken effect;
`unknown` when its answer was lost and it may have.
*/
export type StoreError = {
	readonly kind: 'did not happen' | 'unknown';
	readonly detail: string;
};
