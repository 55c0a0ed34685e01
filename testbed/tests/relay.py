"""Stateless test double of a balancer with one service and backend server."""

import sys
from dataclasses import replace

from twisted.internet import reactor

from testbed.addresses import parse_address
from testbed.datagrams import listen_datagrams, send_datagram
from testbed.packets import build_packet, parse_packet

SERVICE = parse_address('10.7.0.1')
BACKEND = parse_address('10.8.0.1')


def translate(raw):
    segment = parse_packet(raw)
    if segment.destination == SERVICE:
        return build_packet(replace(segment, destination=BACKEND))
    return build_packet(replace(segment, source=SERVICE))


def run_relay(port, fabric_port):
    def receive(raw, _sender):
        fabric = ('127.0.0.1', fabric_port)
        send_datagram(listening, translate(raw), fabric)

    listening = listen_datagrams(port, receive)
    reactor.run()


if __name__ == '__main__':
    run_relay(int(sys.argv[1]), int(sys.argv[2]))
