/**
A VM as the platform's list shows it.
*/

/**
One entry of the VM list. The list lags behind what is true.
*/
export type ListedVm = {
	readonly name: string;
	readonly kind: 'entry' | 'target';
	/** The service that a target VM serves; empty for an entry VM. */
	readonly service: string;
	readonly availabilityZone: string;
	/** Address of the system's process on the VM, as `host:port`. */
	readonly address: string;
	readonly state: 'live' | 'leaving';
};
