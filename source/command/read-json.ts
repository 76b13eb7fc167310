/**
Calls the operator API of a gateway.
*/
import {err, ok, type Result} from 'neverthrow';
import {Agent, type Dispatcher} from 'undici';

const callTimeoutMilliseconds = 10_000;
const agent = new Agent({connect: {timeout: callTimeoutMilliseconds}, keepAliveTimeout: 1});

type Failure = {readonly code: number; readonly errors: readonly string[]; readonly current?: unknown};

/**
Returns the JSON body, or the failure with the result code that the gateway returned.
Code 0 means that the gateway returned none, for example because it is unreachable.

@example
```
await readJson('http://10.0.0.4:8081', 'GET', '/status');
```
*/
export const readJson = async <Json>(address: string, method: Dispatcher.HttpMethod, path: string, body?: unknown): Promise<Result<Json, Failure>> => {
	try {
		const answer = await agent.request({
			origin: address,
			path,
			method,
			headers: {'content-type': 'application/json'},
			signal: AbortSignal.timeout(callTimeoutMilliseconds),
			...body === undefined ? {} : {body: JSON.stringify(body)},
		});
		const json = await answer.body.json() as Json & {readonly error?: Failure};
		return answer.statusCode === 200 ? ok(json) : err(json.error ?? {code: 0, errors: [`${address}${path} answered ${answer.statusCode}`]});
	} catch (error) {
		return err({code: 0, errors: [`${address}${path}: ${(error as Error).message}`]});
	}
};
