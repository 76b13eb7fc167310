/**
How a store in virtual time treats one caller.
*/

/**
`busy` answers that nothing was done; `silent` does not answer.
*/
export type StoreFault = 'none' | 'busy' | 'silent';
