/**
A gateway and where it runs, for decisions that depend on its availability zone.
*/

/**
The gateway itself, or one of its peers.
*/
export type Gateway = {readonly name: string; readonly availabilityZone: string};
