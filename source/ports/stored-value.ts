/**
Value read from the key-value service.
*/

/**
A value and its store revisions. `revision` is that of the last modification,
`createdRevision` that of the write that created the key. The latter serves as fencing
number of the lease holder.
*/
export type StoredValue = {
	readonly value: string;
	readonly revision: number;
	readonly createdRevision: number;
	/** Identifier of the lease that the key is attached to, '0' for none. */
	readonly lease: string;
};
