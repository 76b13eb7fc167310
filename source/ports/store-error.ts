/**
Error of a call to the key-value service.
*/

/**
`did not happen`: the call cannot have taken effect. `unknown`: the call may have taken
effect, as its answer was lost or is unusable.
*/
export type StoreError = {
	readonly kind: 'did not happen' | 'unknown';
	readonly detail: string;
};
