/**
The door of a sidecar: accepts links from gateways.
*/
import {WebSocketServer} from 'ws';
import type {Message} from '../generated/messages.js';
import {Link} from '../links/link.js';
import type {Metrics} from '../shared/metrics.js';
import {newIdentifier} from '../shared/new-identifier.js';

const mostFrameBytes = 16 * 1024 * 1024;

type LinkServerOptions = {
	readonly metrics: Metrics;
	/** True while an attempt that came over the link is under way. */
	readonly hasWork: (link: string) => boolean;
	readonly onOpen: (link: string) => void;
	readonly onMessage: (link: string, message: Message) => void;
	readonly onClosed: (link: string) => void;
};

/**
All open links of one sidecar, by identifier.

@example
```
const server = new LinkServer(options);
await server.listen({host: '10.0.3.7', port: 7000});
```
*/
export class LinkServer {
	readonly #options: LinkServerOptions;
	readonly #links = new Map<string, Link>();
	#server: WebSocketServer | undefined;

	constructor(options: LinkServerOptions) {
		this.#options = options;
	}

	async listen(address: {readonly host: string; readonly port: number}): Promise<void> {
		const server = new WebSocketServer({...address, perMessageDeflate: false, maxPayload: mostFrameBytes});
		this.#server = server;
		server.on('connection', socket => {
			const id = newIdentifier();
			const {metrics, onMessage, onClosed, onOpen, hasWork} = this.#options;
			this.#links.set(id, new Link(socket, {
				onMessage(message) {
					onMessage(id, message);
				},
				onClosed: () => {
					this.#links.delete(id);
					onClosed(id);
				},
				// The dialling end decides when a link is idle.
				isKeptOpen: () => true,
				hasWork: () => hasWork(id),
				onBytes(direction, bytes) {
					metrics.count(`link.bytes.${direction}`, bytes);
				},
			}));
			onOpen(id);
		});
		await new Promise<void>((resolve, reject) => {
			server.once('listening', resolve);
			server.once('error', reject);
		});
	}

	/** False when the link is no longer open. */
	send(link: string, message: Message): boolean {
		return this.#links.get(link)?.send(message) ?? false;
	}

	broadcast(message: Message): void {
		for (const link of this.#links.values()) {
			link.send(message);
		}
	}

	close(): void {
		for (const link of this.#links.values()) {
			link.close('sidecar stopping');
		}

		this.#server?.close();
	}
}
