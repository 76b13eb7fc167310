/**
The HTTP server of a gateway for its operators: metrics, and the quarantine of prompts.
*/
import type http from 'node:http';
import type {EntryContext} from './entry-context.js';
import {startStatusServer} from './status-server.js';

/**
Resolves with the server once it listens.

@example
```
const server = await startOperatorServer({host: '10.1.0.35', port: 9464}, context);
```
*/
export const startOperatorServer = async (address: {readonly host: string; readonly port: number}, {metrics, quarantine}: Pick<EntryContext, 'metrics' | 'quarantine'>): Promise<http.Server> => {
	const list = (): string => JSON.stringify({quarantined: quarantine.list()});
	return startStatusServer(address, {
		'GET /metrics': () => ({status: 200, text: metrics.render()}),
		'GET /quarantine': () => ({status: 200, text: list()}),
		'POST /quarantine/lift': parameters => quarantine.lift(parameters.get('part') ?? '')
			? {status: 200, text: list()}
			: {status: 404, text: JSON.stringify({error: {code: 0, errors: ['this part is not in quarantine']}})},
	});
};
