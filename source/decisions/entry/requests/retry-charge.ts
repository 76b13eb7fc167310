/**
The charge of one retry, by which the retry budget can refund it.
*/

/**
`bucket` is the time bucket that the retry counts in; undefined for a first-start retry, which requests did not earn.
*/
export type RetryCharge = {readonly bucket: number | undefined};
