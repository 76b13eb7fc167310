/**
Where the configuration is kept.
*/

/** Key of the accepted configuration in the platform's key-value service. */
export const configurationKey = 'cowsliprudder/configuration';
