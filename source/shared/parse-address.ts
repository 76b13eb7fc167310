/**
Parses addresses as written in settings.
*/

/**
Splits `host:port`. The settings schema has already validated the format.

@example
```
parseAddress('127.0.0.1:8080'); // {host: '127.0.0.1', port: 8080}
```
*/
export const parseAddress = (address: string): {readonly host: string; readonly port: number} => {
	const separator = address.lastIndexOf(':');
	return {host: address.slice(0, separator), port: Number(address.slice(separator + 1))};
};
