/**
One retry as it was charged.
*/

/**
`part` is the part of time that it counts in, undefined for one that was not earned.
*/
export type RetryCharge = {readonly part: number | undefined};
