/**
Stand-in of the platform's duty interface.
*/
import type http from 'node:http';
import {text} from 'node:stream/consumers';
import {LoopbackServer} from './loopback-server.js';

type Arrival = {readonly path: string; readonly holder: string; readonly token: number; readonly body: unknown};

/**
Answers each call with `status`, or not at all.

@example
```
const duties = new PlatformDutyStandIn();
await duties.start();
duties.arrivals; // []
```
*/
export class PlatformDutyStandIn {
	status: number | 'reset' | 'silent' = 200;
	readonly arrivals: Arrival[] = [];
	readonly #server = new LoopbackServer((request, response) => {
		void this.#answer(request, response);
	});

	get address(): string {
		return this.#server.address;
	}

	async start(): Promise<void> {
		await this.#server.start();
	}

	stop(): void {
		this.#server.stop();
	}

	async #answer(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const body: unknown = JSON.parse(await text(request));
		this.arrivals.push({
			path: `${request.method} ${request.url}`, holder: String(request.headers['x-lease-holder']), token: Number(request.headers['x-fencing-token']), body,
		});
		switch (this.status) {
			case 'silent': {
				return;
			}

			case 'reset': {
				request.socket.resetAndDestroy();
				return;
			}

			default: {
				response.writeHead(this.status, {'content-type': 'application/json'});
				response.end('{}');
			}
		}
	}
}
