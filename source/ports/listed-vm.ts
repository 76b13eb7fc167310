/**
Entry of the platform's list of VMs.
*/

/**
A VM in the list. The list is updated with a delay, so an entry may be outdated.
*/
export type ListedVm = {
	readonly name: string;
	readonly kind: 'entry' | 'target';
	/** Service that a target VM runs. Empty for an entry VM. */
	readonly service: string;
	readonly availabilityZone: string;
	/** Address of this system's process on the VM, as `host:port`. */
	readonly address: string;
	readonly state: 'live' | 'leaving';
};
