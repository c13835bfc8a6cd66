"""Starts a small deployment of the project's programs on loopback addresses: three control processes, entries, and a
stand-in of the platform's list. Needs nothing but Python's standard library."""
import http.client
import http.server
import json
import os
import random
import signal
import socket
import socketserver
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BIN = ROOT + "/target/release/mustardstack"

def free_port(ip='127.0.0.1'):
    s=socket.socket(); s.bind((ip,0)); p=s.getsockname()[1]; s.close(); return p
class Platform:
    def __init__(self,ip):
        self.instances=[]; self.lock=threading.Lock(); self.calls=[]
        outer=self
        class H(http.server.BaseHTTPRequestHandler):
            protocol_version='HTTP/1.1'
            def do_GET(self):
                b=json.dumps({'Instances':outer.instances,'Next':None}).encode()
                self.send_response(200); self.send_header('Content-Type','application/json'); self.send_header('Content-Length',str(len(b))); self.end_headers(); self.wfile.write(b)
            def log_message(self,*a): pass
        class S(socketserver.ThreadingMixIn,http.server.HTTPServer): daemon_threads=True; allow_reuse_address=True
        self.srv=S((ip,0),H); self.addr=f'{ip}:{self.srv.server_port}'
        threading.Thread(target=self.srv.serve_forever,daemon=True).start()
class Fleet:
    def __init__(self,cores=3,fronts=2,bounds=None,extra=None,net=10):
        self.tmp=tempfile.mkdtemp(prefix='review42-'); self.procs={}; self.extra=extra or {}
        self.core_ips=[f'127.0.{net}.{11+i}' for i in range(cores)]; self.front_ips=[f'127.0.{net}.{21+i}' for i in range(fronts)]
        self.net=net; self.pf=free_port(); self.front_port=self.pf; self.pr=free_port(); self.pc=free_port(); self.pi=random.randint(20000,30000)
        self.platform=Platform(f'127.0.{net}.100')
        self.first=True
    def settings(self,ip,role):
        z={'core':self.core_ips,'front':self.front_ips}[role].index(ip)%3
        zone='valle-'+'abc'[z]
        listen={'Front':f'{ip}:{self.pf}','Ready':f'{ip}:{self.pr}'} if role=='front' else {'Control':f'{ip}:{self.pc}'}
        d=f'{self.tmp}/{ip}'; os.makedirs(d+'/data',exist_ok=True)
        s={'Node':f'{role}-{ip}','Role':role,'MachineClass':role,'Serves':['front' if role=='front' else 'control'],'Ip':ip,'Zone':zone,'Region':'valle','Zones':{'valle-a':'valle','valle-b':'valle','valle-c':'valle'},'Listen':listen,'InternalPorts':[self.pi,self.pi+15],'Seeds':[f'{c}:{self.pc}' for c in self.core_ips[:3]],'Bootstrap':self.first,'CountTowardTolerance':role=='core','Limits':{'CpuShare':0.25,'Cores':1,'MemoryMb':260,'MaxFds':4100,'LinkMbps':1000.0,'DiskMb':128 if role=='core' else 0},'DataDir':d+'/data' if role=='core' else None,'Discovery':'cloud','Entry':'vip','HeartbeatMs':1200,'Contracts':['base','drain','config','cost','retry','recover','split','stream','engine'],'FaultTolerance':{'Machines':1,'Zones':1,'Regions':0},
         'Bounds':{'SeedLagS':3,'ReuseAfterS':2,'ContactWindowMs':3000,'AckMs':4000,'CatchUpS':4,'DrainMs':3000,'GraceS':8,'LossSlackMs':200,'ConfigMs':2000,'RollbackSlackMs':250,'MaxSkewMs':5000,'BudgetRatio':0.2,'BudgetWindowS':10,'BudgetSlack':56,'RecoveryS':12,'TransitMs':120,'CacheWindowS':10,'RequireFence':True,'LeaseMs':3000,'ThawMs':300},
         'ConfigMode':'highest','Cloud':{'Address':self.platform.addr,'RatePerS':44.0,'Duties':[],'LagMs':800}}
        s['Bounds'].update(self.extra.get('Bounds',{})); s['Cloud'].update(self.extra.get('Cloud',{}))
        p=d+'/boot.yaml'; open(p,'w').write(json.dumps(s)); return p
    def start(self,ip):
        role='core' if ip in self.core_ips else 'front'
        p=self.settings(ip,role)
        log=open(f'{self.tmp}/{ip}/log','ab')
        env={'PATH':os.environ['PATH'],'HOME':os.environ.get('HOME','/'),'LANG':'C','PEER_SECRET':'set-at-deployment','MUSTARDSTACK_NODE_FILE':p}
        self.procs[ip]=subprocess.Popen([BIN,'join'],cwd=ROOT,env=env,stdout=log,stderr=log)
    def start_all(self):
        for ip in self.core_ips+self.front_ips: self.start(ip)
        self.first=False
    def kill(self,ip,sig=signal.SIGKILL): self.procs[ip].send_signal(sig)
    def stop(self):
        for p in self.procs.values():
            try: p.send_signal(signal.SIGCONT); p.kill(); p.wait(5)
            except Exception: pass
    def call(self,ip,method,path,body=None,timeout=3):
        import http.client
        for _ in range(4):
            host,port=ip,self.pc
            try:
                for hop in range(3):
                    c=http.client.HTTPConnection(host,port,timeout=timeout); c.request(method,path,body,{'Content-Type':'application/json'}); r=c.getresponse(); b=r.read(); c.close()
                    if r.status==307:
                        loc=r.getheader('Location')[7:]; hp,_,path2=loc.partition('/'); host,port=hp.split(':'); port=int(port); continue
                    return r.status,b
            except Exception as e: err=e
        return None,str(err).encode()
    def publish(self,cfg,tries=60):
        b=json.dumps(cfg).encode()
        for i in range(tries):
            ip=self.core_ips[i%len(self.core_ips)]
            st,r=self.call(ip,'POST','/Config.Replace',b)
            if st==200: return True
            if st in(400,409): raise Exception(r)
            time.sleep(.2)
        return False
    def ready(self,t=15):
        import http.client
        end=time.time()+t; ok=set()
        while time.time()<end and len(ok)<len(self.front_ips):
            for ip in self.front_ips:
                try:
                    c=http.client.HTTPConnection(ip,self.pr,timeout=1); c.request('GET','/ready'); 
                    if c.getresponse().status==200: ok.add(ip)
                except Exception: pass
            time.sleep(.1)
        return len(ok)==len(self.front_ips)
