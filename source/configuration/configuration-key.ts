/**
Store key of the configuration.
*/

/** Key of the accepted configuration in the platform's key-value service. */
export const configurationKey = 'cowsliprudder/configuration';
