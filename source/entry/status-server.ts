/**
Small HTTP servers of a gateway: for the readiness check, for metrics and for operators.
*/
import http from 'node:http';

type StatusAnswer = {readonly status: number; readonly text: string};

/** Answers by method and path, such as 'GET /metrics'; each gets the parameters of the query. */
type Answers = Readonly<Record<string, (parameters: URLSearchParams) => StatusAnswer>>;

/**
Resolves with a server once it listens; what has no answer gets 404.

@example
```
const server = await startStatusServer({host: '10.1.0.35', port: 9464}, {'GET /metrics': () => ({status: 200, text: metrics.render()})});
```
*/
export const startStatusServer = async (address: {readonly host: string; readonly port: number}, answers: Answers): Promise<http.Server> => {
	const server = http.createServer((request, response) => {
		const {pathname, searchParams} = new URL(request.url ?? '/', 'http://gateway');
		const {status, text} = answers[`${request.method} ${pathname}`]?.(searchParams) ?? {status: 404, text: 'not found'};
		response.writeHead(status, {'content-type': text.startsWith('{') ? 'application/json' : 'text/plain'});
		response.end(text);
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(address, resolve);
	});
	return server;
};
